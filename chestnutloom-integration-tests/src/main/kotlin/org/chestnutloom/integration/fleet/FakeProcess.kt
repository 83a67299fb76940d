package org.chestnutloom.integration.fleet

import org.chestnutloom.fakes.launch.LaunchedProcess

/** A running stand-in of the platform. */
class FakeProcess(
    val process: LaunchedProcess,
    val url: String,
) {
    /** The port that it listens on. */
    val port: Int
        get() = url.substringAfterLast(':').toInt()
}
