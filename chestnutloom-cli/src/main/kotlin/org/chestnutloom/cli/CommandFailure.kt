package org.chestnutloom.cli

import kotlinx.collections.immutable.ImmutableList
import org.chestnutloom.config.DocumentFault

/** The reason why a command failed. */
internal sealed interface CommandFailure {
    val exitCode: ExitCode

    /** The document is invalid. */
    data class FaultyDocument(
        val faults: ImmutableList<DocumentFault>,
    ) : CommandFailure {
        override val exitCode: ExitCode = ExitCode.FAILED

        override fun toString(): String = faults.joinToString("\n")
    }

    /** A file cannot be read. */
    data class UnreadableFile(
        val path: String,
    ) : CommandFailure {
        override val exitCode: ExitCode = ExitCode.FAILED

        override fun toString(): String = "cannot read the file $path"
    }

    /** A resource that the command refers to does not exist. */
    data class NotFound(
        val subject: String,
    ) : CommandFailure {
        override val exitCode: ExitCode = ExitCode.FAILED

        override fun toString(): String = "there is no $subject"
    }

    /** A row in the store cannot be decoded or does not match its digest. */
    data class Corrupt(
        val subject: String,
    ) : CommandFailure {
        override val exitCode: ExitCode = ExitCode.FAILED

        override fun toString(): String = "$subject in the table service is corrupt"
    }

    /** Concurrent [changes] were written first. */
    data class Conflict(
        val changes: ImmutableList<String>,
    ) : CommandFailure {
        override val exitCode: ExitCode = ExitCode.CONFLICT

        override fun toString(): String =
            (listOf("nothing was changed because of concurrent changes:") + changes).joinToString("\n")
    }

    /** The store is unavailable, and nothing was changed. */
    data class StoreUnavailable(
        val detail: String,
    ) : CommandFailure {
        override val exitCode: ExitCode = ExitCode.STORE

        override fun toString(): String = "the table service is unavailable ($detail), nothing was changed"
    }

    /** The outcome of the change is unknown. */
    data class OutcomeUnknown(
        val detail: String,
    ) : CommandFailure {
        override val exitCode: ExitCode = ExitCode.STORE

        override fun toString(): String =
            "the outcome of the change is unknown ($detail); check the current state before retrying"
    }
}
