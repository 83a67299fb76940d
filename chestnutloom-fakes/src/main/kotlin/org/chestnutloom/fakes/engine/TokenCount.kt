package org.chestnutloom.fakes.engine

private const val CHARACTERS_PER_TOKEN = 4

/** Returns how many tokens a text of [characters] characters has. */
internal fun tokenCount(characters: Int): Long =
    ((characters + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN).toLong()
