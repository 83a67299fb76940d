package io.kotest.provided

import io.kotest.core.config.AbstractProjectConfig
import io.kotest.core.extensions.Extension
import org.chestnutloom.edge.KnownFailures

/** Applies [KnownFailures] to all specs of this module; Kotest finds this class by its name. */
internal class ProjectConfig : AbstractProjectConfig() {
    override val extensions: List<Extension> = listOf(KnownFailures)
}
