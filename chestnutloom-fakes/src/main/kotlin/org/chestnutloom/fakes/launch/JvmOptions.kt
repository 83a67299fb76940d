package org.chestnutloom.fakes.launch

import kotlinx.collections.immutable.ImmutableList
import kotlinx.collections.immutable.persistentListOf

private const val DEFAULT_HEAP_MB = 256

private val FAST_START_FLAGS =
    persistentListOf("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xshare:auto")

/**
 * Options of a JVM.
 *
 * @property heapMb the maximum heap size, in megabytes
 * @property flags further options; the defaults shorten the startup at the cost of peak performance
 */
public data class JvmOptions(
    public val heapMb: Int = DEFAULT_HEAP_MB,
    public val flags: ImmutableList<String> = FAST_START_FLAGS,
)
