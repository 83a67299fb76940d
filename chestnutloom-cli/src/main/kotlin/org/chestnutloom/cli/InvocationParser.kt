package org.chestnutloom.cli

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf
import org.chestnutloom.cli.command.ChangeService
import org.chestnutloom.cli.store.EnvironmentStore
import org.chestnutloom.common.flag.FlagParser
import org.chestnutloom.common.flag.FlagReader
import org.chestnutloom.common.flag.FlagValues
import org.chestnutloom.common.flag.UsageError
import org.chestnutloom.common.store.tableClient
import org.chestnutloom.common.store.vmListClient
import org.chestnutloom.store.TableStore
import org.chestnutloom.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Parses the command line of `chestnutloom`. */
internal class InvocationParser(
    private val clock: Clock,
    private val createTable: (String, Duration) -> TableStore = ::tableClient,
) {
    val commands: List<Command> = allCommands(ChangeService { FlagReader(it.values).mechanisms() })

    fun parse(
        args: List<String>,
        environment: Map<String, String>,
    ): Either<ImmutableList<UsageError>, Invocation> {
        val command = commands.find { args.take(wordCount(it)) == it.name.split(' ') } ?: return unknownCommand(args)
        val parser = FlagParser("chestnutloom ${command.name}", cliFlags + command.flags, command.arguments)
        return parser
            .parse(args.drop(wordCount(command)), environment)
            .flatMap { invocation(command, it, environment) }
    }

    private fun invocation(
        command: Command,
        values: FlagValues,
        environment: Map<String, String>,
    ): Either<ImmutableList<UsageError>, Invocation> {
        val reader = FlagReader(values)
        reader.mechanisms()
        val isJson = reader.choice("output", mapOf("text" to false, "json" to true), default = false)
        val context = createContext(command, reader, values, environment)
        return if (reader.errors.isEmpty()) Invocation(command, context, isJson).right() else reader.errors.left()
    }

    private fun createContext(
        command: Command,
        reader: FlagReader,
        values: FlagValues,
        environment: Map<String, String>,
    ): CommandContext {
        val storeTimeout = reader.duration("store-timeout-ms", DEFAULT_STORE_TIMEOUT)
        val tableUrl = if (command.needsTable()) reader.url("table-url") else reader.optional("table-url").orEmpty()
        val table by lazy { createTable(tableUrl, storeTimeout) }
        return CommandContext(
            values = values,
            environment = reader.optional("environment") ?: "production",
            author = reader.optional("author") ?: environment["USER"] ?: "unknown",
            wait = reader.int("wait-seconds", 0..MAX_WAIT_SECONDS, DEFAULT_WAIT_SECONDS).seconds,
            lease = reader.duration("lease-ms", 4.seconds),
            storeOf = { EnvironmentStore(table, it) },
            vmList = reader.optional("vm-list-url")?.let { vmListClient(it, storeTimeout) },
            clock = clock,
        )
    }

    private fun Command.needsTable(): Boolean = name != "validate"

    private fun unknownCommand(args: List<String>): Either<ImmutableList<UsageError>, Invocation> =
        persistentListOf(
            UsageError(args.take(2).joinToString(" ").ifEmpty { "chestnutloom" }, "is not a known command"),
        ).left()

    private fun wordCount(command: Command): Int = command.name.split(' ').size

    private companion object {
        private const val DEFAULT_WAIT_SECONDS = 15
        private const val MAX_WAIT_SECONDS = 3600

        /** Longer than a gateway's timeout, because an operator can wait, even if the machine is short of CPU time. */
        private val DEFAULT_STORE_TIMEOUT = 10.seconds
    }
}
