package org.chestnutloom.fakes.engine

/** The latest run of each request id, for resuming streams and cancelling requests. */
internal class RecentRuns {
    private val lock = Any()
    private val runs =
        object : LinkedHashMap<String, EngineRun>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, EngineRun>): Boolean =
                size > MAX_RUNS && eldest.value.progress.value.outcome != null
        }

    fun add(run: EngineRun) {
        synchronized(lock) { runs[run.requestId] = run }
    }

    fun find(requestId: String): EngineRun? = synchronized(lock) { runs[requestId] }

    private companion object {
        const val MAX_RUNS = 500
    }
}
