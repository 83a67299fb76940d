package org.chestnutloom.fakes.proxy

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import org.chestnutloom.fakes.StandInClient
import kotlin.time.Duration.Companion.seconds

private const val LINK = "l"
private val TIMEOUT = 30.seconds

/** Runs [test] with a proxy in front of an echo server. */
private suspend fun withProxy(test: suspend (ProxyFixture) -> Unit) {
    val proxy = faultProxy()
    proxy.start()
    try {
        EchoServer().use { echo ->
            val port = proxy.open(LinkSpec(LINK, targetHost = "127.0.0.1", targetPort = echo.port)).port
            withContext(Dispatchers.IO) { test(ProxyFixture(proxy, port, echo)) }
        }
    } finally {
        proxy.stop()
    }
}

private class ProxyFixture(
    val proxy: FaultProxy,
    private val port: Int,
    val echo: EchoServer,
) {
    val stats: LinkStats
        get() = proxy.stats().links.single()

    fun connect(): TestConnection = TestConnection(port)

    fun fault(fault: LinkFault) {
        proxy.set(LINK, fault) shouldBe true
    }
}

class FaultProxySpec :
    DescribeSpec({
        describe("a link") {
            it("relays bytes in both directions and the end of a connection") {
                withProxy { fixture ->
                    fixture.connect().use { it.exchange("hello") shouldBe "hello" }
                    fixture.stats.bytesToCaller shouldBe 5
                    eventually(TIMEOUT) { fixture.stats.openConnections shouldBe 0 }
                }
            }

            it("is controlled over HTTP") {
                withProxy { fixture ->
                    val admin = StandInClient(fixture.proxy.port)
                    admin.send("/admin/links/$LINK/fault", """{"mode":"cut","count":1}""").status shouldBe 204
                    admin.send("/admin/links/none/fault", """{"mode":"cut"}""").status shouldBe 404
                    val opened = admin.send("/admin/links", """{"name":"m","targetHost":"127.0.0.1","targetPort":1}""")
                    opened.status shouldBe 200
                    admin.read<LinkStatsList>("/admin/links").links.map { it.name } shouldBe listOf(LINK, "m")
                }
            }
        }

        describe("a cut link") {
            it("closes existing and new connections until the fault is removed") {
                withProxy { fixture ->
                    val old = fixture.connect()
                    old.exchange("a")
                    fixture.fault(LinkFault(LinkFaultMode.CUT))
                    old.awaitClosed() shouldBe true
                    fixture.connect().awaitClosed() shouldBe true
                    fixture.fault(LinkFault.NONE)
                    fixture.connect().use { it.exchange("b") shouldBe "b" }
                }
            }

            it("with a byte limit passes exactly that many bytes") {
                withProxy { fixture ->
                    fixture.fault(
                        LinkFault(LinkFaultMode.CUT, afterBytes = 3, direction = Direction.TO_CALLER, count = 1),
                    )
                    val cut = fixture.connect()
                    cut.write("hello")
                    cut.read(5) shouldBe "hel"
                    fixture.connect().use { it.exchange("hello") shouldBe "hello" }
                }
            }

            it("in one direction discards only that direction, permanently for affected connections") {
                withProxy { fixture ->
                    val old = fixture.connect()
                    old.exchange("a")
                    fixture.fault(LinkFault(LinkFaultMode.CUT_TO_CALLER))
                    old.write("lost")
                    eventually(TIMEOUT) { fixture.stats.faultsTaken shouldBe 1 }
                    fixture.fault(LinkFault.NONE)
                    old.write("late")
                    fixture.connect().use { it.exchange("b") shouldBe "b" }
                    eventually(TIMEOUT) { fixture.echo.received shouldContain "late" }
                    old.hasInput shouldBe false
                }
            }

            it("with a match text affects only connections that send the text to the target") {
                withProxy { fixture ->
                    fixture.fault(LinkFault(LinkFaultMode.CUT_TO_TARGET, match = "secret"))
                    fixture.connect().use { it.exchange("plain") shouldBe "plain" }
                    fixture.connect().write("a secret")
                    eventually(TIMEOUT) { fixture.stats.faultsTaken shouldBe 1 }
                    fixture.echo.received shouldNotContain "a secret"
                }
            }
        }

        describe("a silent link") {
            it("blocks existing connections without closing them, and relays new ones") {
                withProxy { fixture ->
                    val old = fixture.connect()
                    old.exchange("a")
                    fixture.fault(LinkFault(LinkFaultMode.SILENT))
                    old.write("lost")
                    fixture.connect().use { it.exchange("b") shouldBe "b" }
                    fixture.fault(LinkFault.NONE)
                    fixture.connect().use { it.exchange("c") shouldBe "c" }
                    fixture.echo.received shouldNotContain "lost"
                    old.hasInput shouldBe false
                    fixture.stats.faultsTaken shouldBe 1
                }
            }
        }

        describe("a dropped reply") {
            it("closes the connection after the request was delivered") {
                withProxy { fixture ->
                    fixture.fault(LinkFault(LinkFaultMode.DROP_REPLY, count = 1))
                    val dropped = fixture.connect()
                    dropped.write("pay")
                    dropped.awaitClosed() shouldBe true
                    fixture.echo.received shouldContain "pay"
                    fixture.connect().use { it.exchange("again") shouldBe "again" }
                }
            }
        }

        describe("duplication") {
            it("writes a chunk twice") {
                withProxy { fixture ->
                    fixture.fault(LinkFault(LinkFaultMode.DUPLICATE, direction = Direction.TO_CALLER, count = 1))
                    fixture.connect().use {
                        it.write("ab")
                        it.read(4) shouldBe "abab"
                        it.exchange("cd") shouldBe "cd"
                    }
                }
            }
        }

        describe("reordering") {
            it("lets the reply on a later connection arrive first") {
                withProxy { fixture ->
                    fixture.fault(
                        LinkFault(LinkFaultMode.REORDER_CONNECTIONS, delayMs = 300, direction = Direction.TO_CALLER),
                    )
                    val first = fixture.connect()
                    first.write("1")
                    val second = fixture.connect()
                    second.exchange("2") shouldBe "2"
                    first.read(1) shouldBe "1"
                    fixture.stats.faultsTaken shouldBe 1
                }
            }
        }
    })
