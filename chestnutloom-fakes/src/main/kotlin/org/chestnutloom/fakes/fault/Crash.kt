package org.chestnutloom.fakes.fault

/** The action of a stand-in on a request that crashes it. */
public fun interface Crash {
    /** Terminates the target abruptly. */
    public fun crash()

    public companion object {
        private const val CRASH_STATUS = 137

        /** Halts the process without shutdown hooks, with the exit status of a process killed by SIGKILL. */
        public val HALT_PROCESS: Crash = Crash { Runtime.getRuntime().halt(CRASH_STATUS) }
    }
}
