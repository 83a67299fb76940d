package org.chestnutloom.fakes.engine

private const val CHARACTERS_PER_TOKEN = 4

/** Returns the number of tokens of a text with [characters] characters, rounded up. */
internal fun tokenCount(characters: Int): Long =
    ((characters + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN).toLong()
