package org.chestnutloom.common.flag

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList

/**
 * Reads the arguments of one command; `--help` prints its flags and ends the process.
 *
 * @property program the command as its user types it
 * @property arguments names of the arguments besides flags, all of them required
 */
public class FlagParser(
    private val program: String,
    private val flags: List<Flag>,
    private val arguments: List<String> = emptyList(),
) {
    private val byOption = flags.associateBy { "--${it.name}" }

    /** Reads [args], with the variables of [environment] for flags that are not given; lists every fault. */
    public fun parse(
        args: List<String>,
        environment: Map<String, String>,
    ): Either<ImmutableList<UsageError>, FlagValues> {
        val words = args.flatMap { splitAssignment(it) }
        val errors = if (words.any { it in HELP }) emptyList() else findErrors(words)
        return if (errors.isEmpty()) read(words, environment).right() else errors.toImmutableList().left()
    }

    private fun read(
        words: List<String>,
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
        parser.parse(words.toTypedArray())
        val given = (switches + options).mapValues { (_, option) -> option.value?.toString() }
        val values = flags.associate { it.name to (given[it] ?: environment[it.variable]) }
        return FlagValues(values, positionals.mapValues { it.value.value })
    }

    private fun help(flag: Flag): String = "${flag.description} [${flag.variable}]"

    private fun findErrors(words: List<String>): List<UsageError> {
        val errors = mutableListOf<UsageError>()
        val positionals = mutableListOf<String>()
        val queue = ArrayDeque(words)
        while (queue.isNotEmpty()) {
            val word = queue.removeFirst()
            val flag = byOption[word]
            when {
                flag == null && word.startsWith("-") -> errors += UsageError(word, "is not a flag")
                flag == null -> positionals += word
                !flag.isSwitch && queue.removeFirstOrNull() == null -> errors += UsageError(word, "needs a value")
            }
        }
        return errors + argumentErrors(positionals)
    }

    private fun argumentErrors(positionals: List<String>): List<UsageError> {
        val missing = arguments.drop(positionals.size).map { UsageError(it, "is missing") }
        return missing + positionals.drop(arguments.size).map { UsageError(it, "is not expected") }
    }

    private fun splitAssignment(word: String): List<String> {
        val isAssignment = word.startsWith("--") && word.substringBefore('=') in byOption
        return if (isAssignment) word.split('=', limit = 2) else listOf(word)
    }

    private companion object {
        private val HELP = setOf("--help", "-h")
    }
}
