package org.chestnutloom.edge.http

import kotlin.random.Random

/**
 * A random order of what a server does on one connection.
 *
 * @param disorders what the server may do wrong
 * @param endings how the connection may end
 * @param framings how the responses may show where their bodies end
 */
internal class ConnectionOrder(
    private val random: Random,
    private val disorders: List<Disorder>,
    private val endings: List<ConnectionEnding>,
    private val framings: List<MessageFraming>,
) {
    /** Bytes that arrive ahead of the first request, if any. */
    val first: String = if (Disorder.EXTRA_PART in disorders && random.nextInt(RARE) == 0) extraPart("e0") else ""

    val exchanges: List<ScriptedExchange> = List(1 + random.nextInt(MAX_EXCHANGES)) { exchange(it) }

    /** Splits [text] into reads: one, one for each byte, or random ones. */
    fun reads(text: String): List<String> =
        when (random.nextInt(3)) {
            0 -> listOf(text)
            1 -> text.map { it.toString() }
            else -> randomReads(text)
        }.filter { it.isNotEmpty() }

    private fun randomReads(text: String): List<String> {
        val cuts = List(1 + random.nextInt(MAX_CUTS)) { random.nextInt(text.length + 1) }.sorted()
        return (listOf(0) + cuts + text.length).zipWithNext { start, end -> text.substring(start, end) }
    }

    private fun exchange(index: Int): ScriptedExchange {
        val disorder = if (random.nextBoolean()) Disorder.NONE else disorders.random(random)
        val ending = endingOf(disorder)
        val isFollowed = disorder == Disorder.EXTRA_WHOLE || disorder == Disorder.EXTRA_PART
        // Bytes behind a body without a length are a part of it.
        val mayEndByClose = ending != ConnectionEnding.NONE && !isFollowed
        val possible = framings.filter { it.isDelimited || mayEndByClose }
        val own = ScriptedMessage("e${index + 1}", possible.random(random), random)
        return ScriptedExchange(
            disorder = disorder,
            ahead = interim() + aheadOf(disorder, "e$index"),
            own = own,
            sentBytes = if (disorder == Disorder.CUT) random.nextInt(own.text.length) else own.text.length,
            behind = behindOf(disorder, "e${index + 1}"),
            isBehindLater = random.nextBoolean(),
            ending = ending,
        )
    }

    private fun endingOf(disorder: Disorder): ConnectionEnding {
        val isEnding = disorder == Disorder.CUT || random.nextInt(RARE) == 0
        val possible = endings.filter { it != ConnectionEnding.NONE }
        return if (isEnding && possible.isNotEmpty()) possible.random(random) else ConnectionEnding.NONE
    }

    private fun interim(): String = if (random.nextInt(RARE) == 0) "HTTP/1.1 100 Continue\r\n\r\n" else ""

    private fun aheadOf(
        disorder: Disorder,
        earlier: String,
    ): String =
        when (disorder) {
            Disorder.LATE_WHOLE -> extraWhole(earlier)
            Disorder.LATE_PART -> partOf(extraWhole(earlier))
            else -> ""
        }

    private fun behindOf(
        disorder: Disorder,
        current: String,
    ): String =
        when (disorder) {
            Disorder.EXTRA_WHOLE -> extraWhole(current)
            Disorder.EXTRA_PART -> extraPart(current)
            else -> ""
        }

    private fun extraWhole(id: String): String {
        val possible = framings.filter { it.isDelimited && it != MessageFraming.HEAD }
        return ScriptedMessage(id.takeIf { random.nextInt(RARE) != 0 }, possible.random(random), random).text
    }

    private fun extraPart(id: String): String =
        if (random.nextInt(RARE) == 0) OTHER_BYTES.random(random) else partOf(extraWhole(id))

    private fun partOf(text: String): String = text.take(1 + random.nextInt(text.length - 1))

    private companion object {
        const val MAX_EXCHANGES = 4
        const val MAX_CUTS = 4
        const val RARE = 4
        val OTHER_BYTES = listOf("\r\n", "\n", " ", "x", "\u0000", "0\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n")
    }
}
