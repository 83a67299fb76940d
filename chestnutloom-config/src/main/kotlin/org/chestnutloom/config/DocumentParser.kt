package org.chestnutloom.config

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.typesafe.config.Config
import com.typesafe.config.ConfigException
import com.typesafe.config.ConfigFactory
import com.typesafe.config.ConfigObject
import com.typesafe.config.ConfigParseOptions
import com.typesafe.config.ConfigResolveOptions
import com.typesafe.config.ConfigSyntax
import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

/** Parses [text] as self-contained HOCON: includes and references to environment variables are rejected. */
internal fun parseDocument(text: String): Either<ImmutableList<DocumentFault>, ConfigObject> =
    try {
        val options = ConfigParseOptions.defaults().setSyntax(ConfigSyntax.CONF).setIncluder(RejectingIncluder)
        resolved(ConfigFactory.parseString(text, options)).root().right()
    } catch (e: ConfigException) {
        persistentListOf(faultOf(e)).left()
    }

/** Appends [key] to [path]. */
internal fun joinPath(
    path: String,
    key: String,
): String = if (path.isEmpty()) key else "$path.$key"

private fun resolved(config: Config): Config = config.resolve(ConfigResolveOptions.noSystem())

private fun faultOf(cause: ConfigException): DocumentFault {
    val line = cause.origin()?.lineNumber()?.takeIf { it > 0 }
    val problem =
        cause.message
            .orEmpty()
            .substringAfter(": ")
            .lineSequence()
            .first()
    return DocumentFault("document", line, problem)
}
