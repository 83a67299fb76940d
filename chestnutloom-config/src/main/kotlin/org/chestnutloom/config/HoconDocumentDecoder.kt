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
        val settings = DocumentSections(reader, faults).read()
        reader.finish()
        checkReferences(settings, reader, faults)
        return if (faults.isEmpty()) settings.right() else faults.inOrder().left()
    }
}

private class DocumentSections(
    private val root: SectionReader,
    private val faults: FaultList,
) {
    fun read(): EnvironmentSettings =
        EnvironmentSettings(
            accounts = named("accounts") { account(it) }.mapKeys { ClientAccountId(it.key) }.toImmutableMap(),
            models = named("models") { model(it) }.mapKeys { ModelName(it.key) }.toImmutableMap(),
            services = named("services") { service(it) }.toImmutableMap(),
            targets = named("targets") { target(it) }.mapKeys { TargetId(it.key) }.toImmutableMap(),
            openRoutes = root.sectionList("open_routes").map { route(it) }.toImmutableList(),
            limits = readLimits(root),
        )

    private fun <T> named(
        key: String,
        read: (SectionReader) -> T,
    ): Map<String, T> =
        root.sections(key).mapValues { (name, section) ->
            if (!NAME.matches(name)) faults.add(section.path, root.raw(key), "is not a valid name")
            read(section).also { section.finish() }
        }

    private fun account(section: SectionReader): AccountSettings {
        val rate = section.decimal("rate_per_second", isValid = { it > 0 && it.isFinite() }, rule = "must be above 0")
        val burst = section.whole("burst", 1..MOST)
        val weight = section.whole("weight", 1..MOST, default = 1)
        return AccountSettings(rate, burst.toInt(), weight.toInt())
    }

    private fun model(section: SectionReader): ModelSettings {
        val contextTokens = section.whole("context_tokens", 1..MOST)
        val completionTokens = section.whole("max_completion_tokens", 1..MOST)
        if (completionTokens > contextTokens) section.fault("max_completion_tokens", "is above context_tokens")
        return ModelSettings(contextTokens, completionTokens)
    }

    private fun service(section: SectionReader): ServiceSettings {
        val targets = section.texts("targets")
        if (targets.isEmpty() && section.raw("targets") != null) section.fault("targets", "must name a target")
        return ServiceSettings(targets.map { TargetId(it) }, section.flag("idempotent", default = false))
    }

    private fun target(section: SectionReader): TargetSettings {
        val kind = kind(section)
        val models = section.texts("models", isOptional = kind == CallKind.TOOL)
        if (kind == CallKind.TOOL && models.isNotEmpty()) section.fault("models", "is only for kind = model")
        val maxRunning = section.whole("max_running", 1..MOST)
        val verifiesOrders = section.flag("verifies_orders", default = false)
        return TargetSettings(kind, models.map { ModelName(it) }, maxRunning.toInt(), verifiesOrders)
    }

    private fun kind(section: SectionReader): CallKind =
        when (section.text("kind")) {
            "model" -> CallKind.MODEL
            "tool" -> CallKind.TOOL
            else ->
                CallKind.TOOL.also {
                    if (section.raw("kind") !=
                        null
                    ) {
                        section.fault("kind", "must be model or tool")
                    }
                }
        }

    private fun route(section: SectionReader): OpenRoute {
        val path = section.text("path")
        if (section.raw("path") != null && !path.startsWith("/")) section.fault("path", "must start with /")
        val method = section.text("method", default = "GET")
        if (method !in METHODS) section.fault("method", "must be one of ${METHODS.joinToString()}")
        return OpenRoute(path, method, section.text("service")).also { section.finish() }
    }

    private companion object {
        private const val MOST = Int.MAX_VALUE.toLong()
        private val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
        private val METHODS = listOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
    }
}
