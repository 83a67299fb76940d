package org.chestnutloom.fakes.tool

import org.chestnutloom.fakes.fault.Crash
import java.nio.file.Path

/**
 * Settings of a stand-in for a plain service.
 *
 * @property logFile where the request log is appended, or null
 */
public data class ToolSettings(
    public val port: Int = 0,
    public val logFile: Path? = null,
    public val bodyLimit: Int = Int.MAX_VALUE,
    public val crash: Crash = Crash.HALT_PROCESS,
)
