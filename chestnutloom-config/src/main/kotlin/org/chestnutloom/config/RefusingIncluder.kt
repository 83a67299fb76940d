package org.chestnutloom.config

import com.typesafe.config.ConfigException
import com.typesafe.config.ConfigIncludeContext
import com.typesafe.config.ConfigIncluder
import com.typesafe.config.ConfigIncluderClasspath
import com.typesafe.config.ConfigIncluderFile
import com.typesafe.config.ConfigIncluderURL
import com.typesafe.config.ConfigObject
import java.io.File
import java.net.URL

/** Refuses every include, so that a document's digest covers all that it says. */
internal object RefusingIncluder :
    ConfigIncluder,
    ConfigIncluderFile,
    ConfigIncluderURL,
    ConfigIncluderClasspath {
    override fun withFallback(fallback: ConfigIncluder): ConfigIncluder = this

    override fun include(
        context: ConfigIncludeContext,
        what: String,
    ): ConfigObject = refuse()

    override fun includeFile(
        context: ConfigIncludeContext,
        what: File,
    ): ConfigObject = refuse()

    override fun includeURL(
        context: ConfigIncludeContext,
        what: URL,
    ): ConfigObject = refuse()

    override fun includeResources(
        context: ConfigIncludeContext,
        what: String,
    ): ConfigObject = refuse()

    private fun refuse(): Nothing = throw ConfigException.Generic("include: a document may not include others")
}
