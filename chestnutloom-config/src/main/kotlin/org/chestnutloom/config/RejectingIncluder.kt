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

/** Rejects every include, so that a document's digest covers its whole content. */
internal object RejectingIncluder :
    ConfigIncluder,
    ConfigIncluderFile,
    ConfigIncluderURL,
    ConfigIncluderClasspath {
    override fun withFallback(fallback: ConfigIncluder): ConfigIncluder = this

    override fun include(
        context: ConfigIncludeContext,
        what: String,
    ): ConfigObject = reject()

    override fun includeFile(
        context: ConfigIncludeContext,
        what: File,
    ): ConfigObject = reject()

    override fun includeURL(
        context: ConfigIncludeContext,
        what: URL,
    ): ConfigObject = reject()

    override fun includeResources(
        context: ConfigIncludeContext,
        what: String,
    ): ConfigObject = reject()

    private fun reject(): Nothing = throw ConfigException.Generic("include: a document must not include other files")
}
