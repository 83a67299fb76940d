package org.chestnutloom.fakes.launch

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.ImmutableMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toImmutableList

/**
 * A JVM process to start.
 *
 * @property name name of the process in its output file and in exceptions
 * @property environment environment variables, in addition to those of the current process
 */
public data class ProcessSpec(
    public val name: String,
    public val mainClass: String,
    public val arguments: ImmutableList<String>,
    public val environment: ImmutableMap<String, String> = persistentMapOf(),
    public val jvm: JvmOptions = JvmOptions(),
)

/** Returns the process that runs one of this module's stand-ins with [arguments]. */
public fun standInProcess(
    name: String,
    vararg arguments: String,
): ProcessSpec = ProcessSpec(name, "org.chestnutloom.fakes.MainKt", arguments.asList().toImmutableList())
