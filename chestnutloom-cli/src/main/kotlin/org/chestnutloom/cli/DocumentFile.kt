package org.chestnutloom.cli

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import org.chestnutloom.config.documentDecoder
import java.io.IOException
import java.nio.charset.CharacterCodingException
import java.nio.file.Files
import java.nio.file.Path

/** Reads and validates the document in the file at [path]. */
internal fun readDocument(path: String): Either<CommandFailure, String> = readText(path).flatMap { checkDocument(it) }

/** Returns [text] if it is a valid document. */
internal fun checkDocument(text: String): Either<CommandFailure, String> =
    documentDecoder().decode(text).mapLeft { CommandFailure.FaultyDocument(it) }.map { text }

private fun readText(path: String): Either<CommandFailure, String> =
    try {
        Files.readString(Path.of(path)).right()
    } catch (_: CharacterCodingException) {
        CommandFailure.UnreadableFile(path).left()
    } catch (_: IOException) {
        CommandFailure.UnreadableFile(path).left()
    }
