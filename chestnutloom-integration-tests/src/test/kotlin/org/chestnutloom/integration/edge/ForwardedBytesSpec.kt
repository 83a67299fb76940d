package org.chestnutloom.integration.edge

import io.kotest.core.spec.IsolationMode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import org.chestnutloom.fakes.edge.ReceivedRequest
import org.chestnutloom.fakes.edge.ScriptedTarget
import org.chestnutloom.fakes.edge.signedResponse
import java.util.HexFormat

private const val SEED = 31L

private val RANDOM_BYTES = Arb.byteArray(Arb.int(0..24), Arb.byte())

private val REQUEST_LINE_WHITESPACE = charArrayOf(' ', '\t', '\u000b', '\u000c', '\r')

private val HAND_PICKED =
    listOf(
        "",
        "plain",
        "a%2Fb%00%zz%",
        "../pay/./x//",
        "a;b,c:d@e!f\$g&h'i(j)k*l+m=n",
        "\"<>\\^`{|}[]#?",
        "http://other.example/?u=http://a.example",
        "\u00c3\u00a9\u00e2\u0082\u00ac\u00f0\u009f\u0098\u0080",
        "\u00e9",
        "\u0080\u0085\u00a0\u00ad\u00ff\u00fe",
        "\u00c0\u0080\u00ed\u00a0\u0080",
        "a b",
        " a",
        "a ",
        "a\tb",
        "a\t",
        "a\u000bb",
        "a\u000c",
        "a\u0000b",
        "a\u0001\u001b\u007f",
        "a\u001c\u001d\u001e\u001f",
        "\u001f",
        "a\rb",
        "a\r",
    )

private fun ByteArray.toText(): String = toString(Charsets.ISO_8859_1)

private fun hex(text: String): String = HexFormat.of().formatHex(text.toByteArray(Charsets.ISO_8859_1))

/** Returns the bytes of a request with one byte for each character of [requestTarget] and [headerValue]. */
private fun request(
    requestTarget: String,
    headerValue: String = "1",
): ByteArray =
    listOf(
        "GET $requestTarget HTTP/1.1",
        "Host: a.example",
        "Connection: close",
        "Authorization: Token key-a",
        "Chestnutloom-Attempt-Id: z",
        "X-Raw: $headerValue",
    ).joinToString("\r\n", postfix = "\r\n\r\n").toByteArray(Charsets.ISO_8859_1)

/**
 * Sends [bytes] and requires that the target reads [expected], or that the request is refused with 400; the second only
 * if [isRefusable].
 */
private suspend fun RawCaller.requireForwarded(
    bytes: ByteArray,
    expected: String,
    isRefusable: Boolean,
    target: ScriptedTarget,
    read: (ReceivedRequest) -> String?,
) {
    target.received.clear()
    val status = exchange(bytes).status
    val isRefused = isRefusable && status == 400
    val result = "$status " + target.received.joinToString { hex(read(it).orEmpty()) }
    result shouldBe if (isRefused) "400 " else "200 ${hex(expected)}"
}

private fun isControlOrSpace(character: Char): Boolean = character <= ' ' || character == '\u007f'

/** Whether a request with [path] may be refused: neither controls nor spaces are allowed in it. */
private fun isRefusablePath(path: String): Boolean = path.any(::isControlOrSpace)

/** Whether a request with the header [value] may be refused: it has controls other than tabs. */
private fun isRefusableValue(value: String): Boolean = value.any { isControlOrSpace(it) && it != ' ' && it != '\t' }

class ForwardedBytesSpec :
    DescribeSpec({
        isolationMode = IsolationMode.InstancePerLeaf
        val fleet = EdgeFleet()
        val ordinaryTexts = PropTestConfig(seed = SEED, iterations = 300)

        // Most of these are refused, which ends a connection with a delay.
        val anyTexts = PropTestConfig(seed = SEED, iterations = 20)

        beforeEach { fleet.start() }
        afterEach { fleet.stop() }

        /** Runs [check] for the odd texts that were picked by hand and for random ones without the end of a line. */
        suspend fun forTexts(check: suspend (String) -> Unit) {
            HAND_PICKED.forEach { check(it) }
            checkAll(ordinaryTexts, RANDOM_BYTES) { bytes -> check(bytes.toText().filterNot(::isControlOrSpace)) }
            checkAll(anyTexts, RANDOM_BYTES) { bytes -> check(bytes.toText().replace('\n', 'n')) }
        }

        suspend fun requireTargetsForwarded(prefix: String) {
            val target = fleet.target("i-1") { signedResponse(it, "own") }
            val caller = fleet.caller()
            forTexts { text ->
                // Whitespace before the version separates it from the path (RFC 9112, section 3), whatever its length.
                val path = (prefix + text).trimEnd(*REQUEST_LINE_WHITESPACE)
                caller.requireForwarded(request(prefix + text), path, isRefusablePath(prefix + text), target) {
                    it.target
                }
            }
        }

        // Guards against bytes beyond ASCII that reached the target as other bytes.
        describe("the bytes that a target reads are those that the caller sent, or the request is refused with 400:") {
            it("in a path") { requireTargetsForwarded("/plain/") }

            it("in a query") { requireTargetsForwarded("/plain/a?") }

            it("in a header value") {
                val target = fleet.target("i-1") { signedResponse(it, "own") }
                val caller = fleet.caller()
                forTexts { text ->
                    val value = text.trim(' ', '\t')
                    val bytes = request("/plain/a", headerValue = text)
                    caller.requireForwarded(bytes, value, isRefusableValue(value), target) {
                        it.header("X-Raw")
                    }
                }
            }
        }
    })
