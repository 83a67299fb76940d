package org.chestnutloom.common.flag

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/**
 * Parses the command line of one command. `--help` prints the usage and exits the process.
 *
 * @property program the command name shown in the usage
 * @property arguments the names of the positional arguments, all of them required
 */
public class FlagParser(
    private val program: String,
    private val flags: List<Flag>,
    private val arguments: List<String> = emptyList(),
) {
    private val byOption = flags.associateBy { "--${it.name}" }

    /** Parses [args], falling back to [environment] for absent flags; returns all usage errors at once. */
    public fun parse(
        args: List<String>,
        environment: Map<String, String>,
    ): Either<ImmutableList<UsageError>, FlagValues> {
        val tokens = args.flatMap { splitAssignment(it) }
        val errors = if (tokens.any { it in HELP_FLAGS }) emptyList() else findErrors(tokens)
        return if (errors.isEmpty()) read(tokens, environment).right() else errors.toImmutableList().left()
    }

    private fun read(
        tokens: List<String>,
        environment: Map<String, String>,
    ): FlagValues {
        val parser = ArgParser(program)
        val switches =
            flags.filter { it.isSwitch }.associateWith {
                parser.option(
                    ArgType.Boolean,
                    it.name,
                    null,
                    help(it),
                )
            }
        val options =
            flags.filterNot { it.isSwitch }.associateWith {
                parser.option(
                    ArgType.String,
                    it.name,
                    null,
                    help(it),
                )
            }
        val positionals = arguments.associateWith { parser.argument(ArgType.String, it) }
        parser.parse(tokens.toTypedArray())
        val given = (switches + options).mapValues { (_, option) -> option.value?.toString() }
        val values = flags.associate { it.name to (given[it] ?: environment[it.variable]) }
        return FlagValues(values, positionals.mapValues { it.value.value })
    }

    private fun help(flag: Flag): String = "${flag.description} [${flag.variable}]"

    private fun findErrors(tokens: List<String>): List<UsageError> {
        val errors = mutableListOf<UsageError>()
        val positionals = mutableListOf<String>()
        val queue = ArrayDeque(tokens)
        while (queue.isNotEmpty()) {
            val token = queue.removeFirst()
            val flag = byOption[token]
            when {
                flag == null && token.startsWith("-") -> errors += UsageError(token, "is not a known flag")
                flag == null -> positionals += token
                !flag.isSwitch && queue.removeFirstOrNull() == null -> errors += UsageError(token, "requires a value")
            }
        }
        return errors + argumentErrors(positionals)
    }

    private fun argumentErrors(positionals: List<String>): List<UsageError> {
        val missing = arguments.drop(positionals.size).map { UsageError(it, "is missing") }
        return missing + positionals.drop(arguments.size).map { UsageError(it, "is an unexpected argument") }
    }

    private fun splitAssignment(token: String): List<String> {
        val isAssignment = token.startsWith("--") && token.substringBefore('=') in byOption
        return if (isAssignment) token.split('=', limit = 2) else listOf(token)
    }

    private companion object {
        private val HELP_FLAGS = setOf("--help", "-h")
    }
}
