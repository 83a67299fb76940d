package org.chestnutloom.integration.fleet

import org.chestnutloom.fakes.launch.LaunchedProcess

/** The process of a platform stand-in. */
class StandInProcess(
    val process: LaunchedProcess,
    val url: String,
) {
    /** The port that the stand-in listens on. */
    val port: Int
        get() = url.substringAfterLast(':').toInt()
}
