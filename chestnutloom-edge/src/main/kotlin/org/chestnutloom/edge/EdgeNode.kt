package org.chestnutloom.edge

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.chestnutloom.common.log.event
import org.chestnutloom.common.node.Node
import org.chestnutloom.common.node.NodeEndpoints
import org.chestnutloom.edge.budget.BudgetAllocator
import org.chestnutloom.edge.budget.BudgetHolder
import org.chestnutloom.edge.budget.BudgetRows
import org.chestnutloom.edge.call.CallDispatcher
import org.chestnutloom.edge.call.CallFactory
import org.chestnutloom.edge.call.CallMetrics
import org.chestnutloom.edge.call.CallService
import org.chestnutloom.edge.call.CompletionCheck
import org.chestnutloom.edge.call.ResponseRelay
import org.chestnutloom.edge.call.RouteResolver
import org.chestnutloom.edge.call.ShutdownDeadline
import org.chestnutloom.edge.call.TargetAttempts
import org.chestnutloom.edge.call.TurnReservations
import org.chestnutloom.edge.codec.CborCodec
import org.chestnutloom.edge.config.ConfigurationHolder
import org.chestnutloom.edge.config.RequestLimits
import org.chestnutloom.edge.crash.RequestQuarantine
import org.chestnutloom.edge.crash.SuspectTrials
import org.chestnutloom.edge.crash.TrialGrants
import org.chestnutloom.edge.feed.ConfigurationListener
import org.chestnutloom.edge.feed.EvacuationListener
import org.chestnutloom.edge.feed.MemberListener
import org.chestnutloom.edge.feed.MembershipListener
import org.chestnutloom.edge.feed.StoreConfigurationRefresher
import org.chestnutloom.edge.feed.TableListener
import org.chestnutloom.edge.feed.TableListeners
import org.chestnutloom.edge.feed.TableWatcher
import org.chestnutloom.edge.feed.TargetListener
import org.chestnutloom.edge.fleet.DatagramMetrics
import org.chestnutloom.edge.fleet.Fleet
import org.chestnutloom.edge.fleet.FleetBudgetPeers
import org.chestnutloom.edge.fleet.FleetHeartbeat
import org.chestnutloom.edge.fleet.FleetMessage
import org.chestnutloom.edge.fleet.FleetSocket
import org.chestnutloom.edge.fleet.FleetSuspectTrials
import org.chestnutloom.edge.fleet.FleetTurnPeers
import org.chestnutloom.edge.fleet.Member
import org.chestnutloom.edge.fleet.MemberRegistry
import org.chestnutloom.edge.fleet.PeerLinks
import org.chestnutloom.edge.fleet.QuotaRefund
import org.chestnutloom.edge.fleet.QuotaReply
import org.chestnutloom.edge.fleet.QuotaRequest
import org.chestnutloom.edge.fleet.RelayingRowStore
import org.chestnutloom.edge.fleet.withAppliedWork
import org.chestnutloom.edge.http.ConnectionPool
import org.chestnutloom.edge.http.EdgeLoop
import org.chestnutloom.edge.http.HttpConnector
import org.chestnutloom.edge.http.IngressLimits
import org.chestnutloom.edge.http.IngressServer
import org.chestnutloom.edge.quota.AccountAdmission
import org.chestnutloom.edge.quota.QuotaClient
import org.chestnutloom.edge.quota.QuotaMetrics
import org.chestnutloom.edge.quota.QuotaServer
import org.chestnutloom.edge.quota.TokenPrefetch
import org.chestnutloom.edge.store.HealthTrackingRowStore
import org.chestnutloom.edge.store.HedgedRowStore
import org.chestnutloom.edge.store.StoreHealth
import org.chestnutloom.edge.target.ListeningProbe
import org.chestnutloom.edge.target.TargetDirectory
import org.chestnutloom.edge.target.TargetFactory
import org.chestnutloom.edge.turn.TurnRows
import org.chestnutloom.edge.turn.TurnStore
import org.chestnutloom.time.Clock
import org.chestnutloom.wire.link.PeerAddress
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val logger = KotlinLogging.logger {}

/** Creates the gateway that routes requests with opaque bodies. */
public fun edgeNode(
    settings: EdgeSettings,
    adapter: EdgeAdapter,
    clock: Clock,
    metrics: MeterRegistry,
): Node = EdgeNode(settings, adapter, clock, metrics)

private class EdgeNode(
    private val settings: EdgeSettings,
    private val adapter: EdgeAdapter,
    private val clock: Clock,
    private val metrics: MeterRegistry,
) : Node {
    private val self = settings.self.copy(processorShare = settings.processorShare)
    private val loop = EdgeLoop()
    private val connector = HttpConnector(loop, clock, CONNECT_TIMEOUT, adapter.callCodec.uniqueResponseHeaders)
    private val storeHealth = StoreHealth(clock)
    private val ownStore =
        HealthTrackingRowStore(HedgedRowStore(adapter.rowStore(poolOf(settings.storeAddress))), storeHealth)
    private val memberCodec = CborCodec(Member.serializer())
    private val configurations = ConfigurationHolder(clock)
    private val targets = TargetDirectory(TargetFactory(connector, clock, loop.scope), ::cacheTokensOf)
    private val scheduling: EdgeScheduling =
        EdgeScheduling(
            settings,
            configurations,
            targets,
            adapter.hasUnevenTargets,
            isIsolated = { heartbeats.isIsolated },
            clock,
            metrics,
        )
    private val availability = scheduling.availability
    private val scheduler = scheduling.scheduler
    private val quarantine =
        RequestQuarantine({ connector.isConnectionRefused(it.address) }, { suspectTrials.claim(it) }, clock, loop.scope)
    private val heartbeats: HeartbeatExchange =
        HeartbeatExchange(
            settings.self,
            targets,
            scheduler,
            storeHealth,
            quarantine,
            scheduling.outliers,
            scheduling.programs,
            clock,
            loop.scope,
        )
    private val socket = FleetSocket(settings.self.address, loop, DatagramMetrics(metrics))
    private val fleet = Fleet(self, socket, heartbeats, heartbeats, clock, loop.scope, Random.Default)
    private val quotaMetrics = QuotaMetrics(metrics)
    private val quotaClient = QuotaClient(fleet, socket, clock, quotaMetrics, Random.Default)
    private val prefetch = TokenPrefetch(fleet, quotaClient, quotaMetrics, clock, loop.scope)
    private val quotaServer = QuotaServer(heartbeats.quotas, configurations, socket, loop.scope)
    private val links = PeerLinks(settings.self, clock, loop.scope)
    private val trialGrants = TrialGrants(clock)
    private val suspectTrials: SuspectTrials = FleetSuspectTrials(fleet, links, trialGrants)
    private val store = RelayingRowStore(ownStore, storeHealth, fleet, links)
    private val memory = EdgeMemory()
    private val turns =
        TurnStore(TurnRows(store, settings.rowBytes), FleetTurnPeers(fleet, links), store, clock, memory.turns)
    private val budgets =
        BudgetAllocator(
            BudgetRows(store),
            FleetBudgetPeers(fleet, links),
            turns::generatedTokens,
            BudgetHolder(settings.self.gateway, settings.self.incarnation),
            loop.scope,
        )
    private val memberRegistry = MemberRegistry(store, self, memberCodec)
    private val shutdownDeadline = ShutdownDeadline()
    private val limits = IngressLimits { configurations.current?.limits ?: RequestLimits.INITIAL }
    private val ingress = IngressServer(settings.callerAddress, loop, callService(), limits, memory.bodies, clock)
    private val health =
        IngressServer(settings.healthAddress, loop, healthHandler { isReady }, limits, memory.bodies, clock)
    private var ingressPort: Int? = null

    override val isReady: Boolean
        get() =
            !shutdownDeadline.isShuttingDown &&
                configurations.current != null &&
                targets.isLoaded &&
                fleet.isMembershipKnown

    override val endpoints: NodeEndpoints
        get() = NodeEndpoints(httpPort = ingressPort, linkPort = settings.self.address.port)

    override suspend fun start() {
        heartbeats.fleet = fleet
        heartbeats.links = links
        heartbeats.memberRegistry = memberRegistry
        scheduling.outliers.onFirstFailure = heartbeats::reportSoon
        registerGauges()
        configurations.onChange(heartbeats.quotas::configure)
        health.start()
        ingressPort = ingress.start()
        socket.start(::receive)
        fleet.start()
        links.start(EdgeLinkHandler(ownStore, budgets, turns, trialGrants))
        loop.scope.launch { memberRegistry.register() }
        availability.evacuations.onChange(scheduler::dispatch)
        watch(adapter.rowDecoder.configurationTable, configurationListener())
        watch(adapter.rowDecoder.targetTable, TargetListener(adapter.rowDecoder, targets, storeHealth, loop.scope))
        val members = MemberListener(memberCodec, fleet)
        watch(MemberRegistry.TABLE, MembershipListener(members, fleet, availability.membership))
    }

    /** Evacuations are applied before the configuration with which the gateway becomes ready. */
    private fun configurationListener() =
        TableListeners(
            EvacuationListener(adapter.rowDecoder, targets, availability.evacuations),
            ConfigurationListener(adapter.rowDecoder, configurations),
        )

    private fun configurationRefresher() =
        StoreConfigurationRefresher(
            store,
            adapter.rowDecoder.configurationTable,
            ConfigurationListener(adapter.rowDecoder, configurations),
            clock,
            loop.scope,
        )

    private fun registerGauges() {
        scheduling.registerGauges()
        memory.registerGauges(metrics)
        registerEdgeGauges(metrics, turns, fleet, configurations, storeHealth)
    }

    override suspend fun stopGracefully() {
        withContext(loop.scope.coroutineContext) { shutDown() }
        loop.close()
    }

    private suspend fun shutDown() {
        val deadline = clock.elapsed() + settings.gracePeriod - EXIT_MARGIN
        shutdownDeadline.set(deadline)
        ingress.beginShutdown()
        delay(settings.unreadyPeriod)
        while (ingress.isBusy && clock.elapsed() < deadline) delay(DRAIN_POLL_INTERVAL)
        logger.event("ingress_closed", "busy" to ingress.isBusy)
        ingress.stopListening()
        prefetch.returnAll()
        withTimeoutOrNull(SETTLE_TIMEOUT) { budgets.settleAll() }
        withTimeoutOrNull(UNREGISTER_TIMEOUT) { memberRegistry.unregister(fleet.ownRowVersion) }
        links.stop()
        socket.stop()
    }

    private fun receive(
        message: FleetMessage,
        sender: PeerAddress,
    ) {
        when (message) {
            is FleetHeartbeat -> fleet.receive(message.withAppliedWork())
            is QuotaRequest -> quotaServer.receive(message, sender)
            is QuotaReply -> quotaClient.receive(message, sender)
            is QuotaRefund -> quotaServer.receive(message, sender)
        }
    }

    private fun poolOf(address: PeerAddress) = ConnectionPool(address, connector, clock, loop.scope)

    private fun watch(
        table: String,
        listener: TableListener,
    ) {
        loop.scope.launch { TableWatcher(store, table, listener, clock).run() }
    }

    private fun callService(): CallService {
        val check = CompletionCheck(ListeningProbe(loop.scope, clock, targets) { it.pool.addIdle() })
        val attempts = TargetAttempts(adapter.callCodec, ResponseRelay(check, clock), clock, loop.scope)
        val reservations = TurnReservations(budgets, clock)
        val dispatcher =
            CallDispatcher(
                scheduler,
                attempts,
                reservations,
                quarantine,
                scheduling.attemptListeners,
                clock,
                loop.scope,
            )
        return CallService(
            RouteResolver(configurations, configurationRefresher()),
            adapter.callCodec,
            AccountAdmission(heartbeats.quotas, prefetch),
            turns,
            CallFactory(budgets, turns, Random.Default, shutdownDeadline),
            dispatcher,
            quarantine,
            CallMetrics(metrics),
            clock,
        )
    }

    private fun cacheTokensOf(service: String): Long =
        configurations.current
            ?.services
            ?.get(service)
            ?.engine
            ?.cacheTokens ?: DEFAULT_CACHE_TOKENS

    private companion object {
        private val CONNECT_TIMEOUT = 400.milliseconds

        /** The part of the grace period that remains for the last steps of a shutdown, after requests have ended. */
        private val EXIT_MARGIN = 1.seconds
        private val SETTLE_TIMEOUT = 500.milliseconds
        private val UNREGISTER_TIMEOUT = 250.milliseconds
        private val DRAIN_POLL_INTERVAL = 20.milliseconds

        /** For services that have no engine or are not configured. */
        private const val DEFAULT_CACHE_TOKENS = 400_000L
    }
}
