package org.chestnutloom.cli.store

import org.chestnutloom.config.ConfigHead

/** The head of an environment and the version of its row. */
internal data class VersionedHead(
    val head: ConfigHead,
    val rowVersion: Long,
)
