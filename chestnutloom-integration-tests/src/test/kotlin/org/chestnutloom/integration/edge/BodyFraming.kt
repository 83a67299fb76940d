package org.chestnutloom.integration.edge

/** How a response shows where its body ends. */
enum class BodyFraming(
    val label: String,
) {
    LENGTH("a length"),
    CHUNKS("chunks and trailers"),
    CLOSE("neither length nor chunks"),
}
