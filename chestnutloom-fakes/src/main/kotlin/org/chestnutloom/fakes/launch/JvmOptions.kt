package org.chestnutloom.fakes.launch

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

private const val DEFAULT_HEAP_MB = 256

private val FAST_START_FLAGS =
    persistentListOf("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xshare:auto")

/**
 * How a JVM is started.
 *
 * @property heapMb the largest heap, in megabytes
 * @property flags further options; the default ones shorten the start and lower the peak speed
 */
public data class JvmOptions(
    public val heapMb: Int = DEFAULT_HEAP_MB,
    public val flags: ImmutableList<String> = FAST_START_FLAGS,
)
