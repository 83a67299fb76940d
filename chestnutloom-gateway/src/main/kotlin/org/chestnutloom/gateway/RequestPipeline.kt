package org.chestnutloom.gateway

import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.chestnutloom.gateway.body.Redactor
import org.chestnutloom.gateway.call.CallRunner
import org.chestnutloom.gateway.call.ConfiguredRetryBudget
import org.chestnutloom.gateway.call.CrashTracker
import org.chestnutloom.gateway.call.InFlightCalls
import org.chestnutloom.gateway.call.SidecarNotifier
import org.chestnutloom.gateway.call.SidecarPool
import org.chestnutloom.gateway.call.SidecarSettingsPublisher
import org.chestnutloom.gateway.call.TargetSelector
import org.chestnutloom.gateway.http.AuthenticatedRouteHandler
import org.chestnutloom.gateway.http.GatewayHttpServer
import org.chestnutloom.gateway.http.OpenRouteHandler
import org.chestnutloom.gateway.http.Responder
import org.chestnutloom.gateway.ingress.ProgramRouter
import org.chestnutloom.gateway.ingress.StandaloneCallRunner
import org.chestnutloom.gateway.program.AbandonedProgramSweeper
import org.chestnutloom.gateway.program.AtMostOnceCallRunner
import org.chestnutloom.gateway.program.ProgramActivity
import org.chestnutloom.gateway.program.ProgramEnder
import org.chestnutloom.gateway.program.ProgramOpener
import org.chestnutloom.gateway.program.ProgramRequestHandler
import org.chestnutloom.gateway.program.ProgramStore
import org.chestnutloom.gateway.program.ProgramTreeRegistry
import org.chestnutloom.gateway.program.TurnFinisher
import org.chestnutloom.gateway.program.TurnService
import org.chestnutloom.gateway.program.TurnStarter
import org.chestnutloom.gateway.trace.Tracing
import org.chestnutloom.mechanism.Mechanism
import org.chestnutloom.route.routingPolicy
import org.chestnutloom.store.VmEntry
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.HeartbeatSource
import org.chestnutloom.wire.link.PeerLink
import kotlin.time.Duration.Companion.seconds

/** Creates and connects the components that handle requests, from the HTTP server to the sidecar links. */
internal class RequestPipeline(
    settings: GatewaySettings,
    private val control: ControlPlaneServices,
    sidecarLinks: (VmEntry) -> PeerLink,
    heartbeats: HeartbeatSource,
    tracing: Tracing,
    metrics: MeterRegistry,
    clock: Clock,
    private val scope: CoroutineScope,
) {
    private val mechanisms = settings.mechanisms
    private val crashTracker = CrashTracker(mechanisms)

    /** The number of requests and turns in flight. */
    val inFlight: InFlightCounter = InFlightCounter()

    /** The links to sidecars. */
    val pool: SidecarPool = SidecarPool(control.targets, sidecarLinks, crashTracker, clock, scope)
    private val notifier = SidecarNotifier(pool::find, scope)
    private val inFlightCalls = InFlightCalls(notifier)
    private val settingsPublisher = SidecarSettingsPublisher(pool, control.settings, control.keys, heartbeats, scope)
    private val targetSelector =
        TargetSelector(
            pool = pool,
            settings = control.settings,
            policy = routingPolicy(settings.routingPolicy),
            failureDomain = settings.failureDomain,
            mechanisms = mechanisms,
        )
    private val runner =
        CallRunner(
            targetSelector = targetSelector,
            inFlightCalls = inFlightCalls,
            notifier = notifier,
            crashTracker = crashTracker,
            keys = control.keys,
            proof = control.proof,
            retries = ConfiguredRetryBudget(control.settings),
            tracing = tracing,
            metrics = metrics,
            mechanisms = mechanisms,
        )
    private val store = ProgramStore(control.journal)
    private val registry = ProgramTreeRegistry(store, control.ownership)
    private val ender = ProgramEnder(registry, inFlightCalls, notifier, clock)
    private val finisher = TurnFinisher(registry, ender, notifier, clock)
    private val starter =
        TurnStarter(
            registry = registry,
            ownership = control.ownership,
            runner = runner,
            atMostOnceRunner = AtMostOnceCallRunner(runner, finisher, pool::find),
            finisher = finisher,
            tracing = tracing,
            metrics = metrics,
            mechanisms = mechanisms,
            clock = clock,
            inFlight = inFlight,
            scope = scope,
        )
    private val activity = ProgramActivity(clock)
    private val sweeper = AbandonedProgramSweeper(activity, registry, ender, control.ownership, control.settings, scope)
    private val requestHandler =
        ProgramRequestHandler(
            registry = registry,
            store = store,
            opener = ProgramOpener(clock),
            ender = ender,
            turns = TurnService(store, starter, control.keys, mechanisms),
            activity = activity,
            settings = control.settings,
            clock = clock,
            scope = scope,
        )

    /** Routes requests to the gateways that own their programs. */
    val router: ProgramRouter =
        ProgramRouter(
            ownership = control.ownership,
            requestHandler = requestHandler,
            tracing = tracing,
            metrics = metrics,
            clock = clock,
            routingTimeout = settings.lease * 2 + ROUTING_MARGIN,
        )

    private val responder = Responder(metrics)
    private val redactor = Redactor(mechanisms)
    private val standaloneCalls = StandaloneCallRunner(runner, notifier)
    private val authenticatedRoutes =
        AuthenticatedRouteHandler(
            keys = control.keys,
            settings = control.settings,
            admission = control.admission,
            router = router,
            standaloneCalls = standaloneCalls,
            redactor = redactor,
            responder = responder,
        )

    /** The HTTP server of the caller-facing API. */
    val httpServer: GatewayHttpServer =
        GatewayHttpServer(
            bind = settings.http,
            authenticatedRoutes = authenticatedRoutes,
            openRoutes = OpenRouteHandler(control.settings, standaloneCalls, redactor, responder),
            responder = responder,
            inFlight = inFlight,
            tracing = tracing,
            metrics = metrics,
            clock = clock,
        )

    /** Starts all components and returns the HTTP port. */
    suspend fun start(): Int {
        pool.start()
        settingsPublisher.start()
        sweeper.start()
        if (mechanisms.has(Mechanism.WITHDRAWAL_CANCEL)) cancelCallsOfWithdrawnKeys()
        return httpServer.start()
    }

    private fun cancelCallsOfWithdrawnKeys() {
        scope.launch { control.keys.withdrawals.collect { inFlightCalls.cancelKey(it) } }
    }

    private companion object {
        val ROUTING_MARGIN = 4.seconds
    }
}
