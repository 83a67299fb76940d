package org.chestnutloom.fakes.fault

/** What a stand-in does when a request crashes it. */
public fun interface Crash {
    /** Ends the target abruptly. */
    public fun crash()

    public companion object {
        private const val CRASH_STATUS = 137

        /** Ends the whole process at once, as a killed process ends. */
        public val HALT_PROCESS: Crash = Crash { Runtime.getRuntime().halt(CRASH_STATUS) }
    }
}
