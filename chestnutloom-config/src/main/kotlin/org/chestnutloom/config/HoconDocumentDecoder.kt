package org.chestnutloom.config

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import com.typesafe.config.ConfigObject
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.toImmutableList
import kotlinx.collections.immutable.toImmutableMap
import org.chestnutloom.call.CallKind
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.ModelName
import org.chestnutloom.id.TargetId

/** Returns the decoder of environment documents in HOCON. */
public fun documentDecoder(): DocumentDecoder = HoconDocumentDecoder

private object HoconDocumentDecoder : DocumentDecoder {
    override fun decode(text: String): Either<ImmutableList<DocumentFault>, EnvironmentSettings> =
        parseDocument(text).flatMap { decodeRoot(it) }

    private fun decodeRoot(root: ConfigObject): Either<ImmutableList<DocumentFault>, EnvironmentSettings> {
        val faults = FaultList()
        val reader = SectionReader(root, "", faults)
        val settings = SettingsReader(reader, faults).read()
        reader.checkUnknownKeys()
        checkReferences(settings, reader, faults)
        return if (faults.isEmpty()) settings.right() else faults.sortedByLine().left()
    }
}

private class SettingsReader(
    private val root: SectionReader,
    private val faults: FaultList,
) {
    fun read(): EnvironmentSettings =
        EnvironmentSettings(
            accounts = readNamed("accounts") { readAccount(it) }.mapKeys { ClientAccountId(it.key) }.toImmutableMap(),
            models = readNamed("models") { readModel(it) }.mapKeys { ModelName(it.key) }.toImmutableMap(),
            services = readNamed("services") { readService(it) }.toImmutableMap(),
            targets = readNamed("targets") { readTarget(it) }.mapKeys { TargetId(it.key) }.toImmutableMap(),
            openRoutes = root.sectionList("open_routes").map { readRoute(it) }.toImmutableList(),
            limits = readLimits(root),
        )

    private fun <T> readNamed(
        key: String,
        read: (SectionReader) -> T,
    ): Map<String, T> =
        root.sections(key).mapValues { (name, section) ->
            if (!NAME_PATTERN.matches(name)) {
                faults.add(section.path, root.rawValue(key), "must have a name that matches $NAME_PATTERN")
            }
            read(section).also { section.checkUnknownKeys() }
        }

    private fun readAccount(section: SectionReader): AccountSettings {
        val rate = section.double("rate_per_second", isValid = { it > 0 && it.isFinite() }, rule = "must be above 0")
        val burst = section.integer("burst", 1..MAX_INTEGER)
        val weight = section.integer("weight", 1..MAX_INTEGER, default = 1)
        return AccountSettings(rate, burst.toInt(), weight.toInt())
    }

    private fun readModel(section: SectionReader): ModelSettings {
        val contextTokens = section.integer("context_tokens", 1..MAX_INTEGER)
        val completionTokens = section.integer("max_completion_tokens", 1..MAX_INTEGER)
        if (completionTokens > contextTokens) section.addFault("max_completion_tokens", "exceeds context_tokens")
        return ModelSettings(contextTokens, completionTokens)
    }

    private fun readService(section: SectionReader): ServiceSettings {
        val targets = section.strings("targets")
        if (targets.isEmpty() && section.rawValue("targets") != null) section.addFault("targets", "must not be empty")
        return ServiceSettings(targets.map { TargetId(it) }, section.boolean("idempotent", default = false))
    }

    private fun readTarget(section: SectionReader): TargetSettings {
        val kind = readKind(section)
        val models = section.strings("models", isOptional = kind == CallKind.TOOL)
        if (kind == CallKind.TOOL && models.isNotEmpty()) section.addFault("models", "is allowed only for kind = model")
        val maxRunning = section.integer("max_running", 1..MAX_INTEGER)
        val verifiesOrders = section.boolean("verifies_orders", default = false)
        return TargetSettings(kind, models.map { ModelName(it) }, maxRunning.toInt(), verifiesOrders)
    }

    private fun readKind(section: SectionReader): CallKind =
        when (section.string("kind")) {
            "model" -> CallKind.MODEL
            "tool" -> CallKind.TOOL
            else ->
                CallKind.TOOL.also {
                    if (section.rawValue("kind") !=
                        null
                    ) {
                        section.addFault("kind", "must be model or tool")
                    }
                }
        }

    private fun readRoute(section: SectionReader): OpenRoute {
        val path = section.string("path")
        if (section.rawValue("path") != null && !path.startsWith("/")) section.addFault("path", "must start with /")
        val method = section.string("method", default = "GET")
        if (method !in HTTP_METHODS) section.addFault("method", "must be one of ${HTTP_METHODS.joinToString()}")
        return OpenRoute(path, method, section.string("service")).also { section.checkUnknownKeys() }
    }

    private companion object {
        private const val MAX_INTEGER = Int.MAX_VALUE.toLong()
        private val NAME_PATTERN = Regex("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
        private val HTTP_METHODS = listOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
    }
}
