package org.chestnutloom.fakes.engine

import org.chestnutloom.fakes.StandIn
import org.chestnutloom.fakes.http.HttpStandIn
import org.chestnutloom.fakes.record.RequestLog
import org.chestnutloom.time.Clock
import org.chestnutloom.time.systemClock

/** Creates a stand-in for a model engine. */
public fun engineStandIn(
    settings: EngineSettings = EngineSettings(),
    clock: Clock = systemClock(),
): StandIn = EngineStandIn(settings, clock)

private class EngineStandIn(
    settings: EngineSettings,
    clock: Clock,
) : StandIn {
    private val log = RequestLog(clock, settings.logFile, settings.maxBodyCharacters)
    private val engine = Engine(settings, clock, log)
    private val objects = ObjectClient(settings.objectUrl)
    private val service = EngineService(settings, engine, log, CompletionEncoder(clock), objects)
    private val server = HttpStandIn(settings.port, service::install)

    override val port: Int
        get() = server.port

    override suspend fun start() {
        engine.start()
        server.start()
    }

    override suspend fun stop() {
        server.stop()
        engine.stop()
        objects.close()
    }
}
