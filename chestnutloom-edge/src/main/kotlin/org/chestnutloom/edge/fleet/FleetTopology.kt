package org.chestnutloom.edge.fleet

import kotlinx.collections.immutable.ImmutableList
import org.chestnutloom.id.ClientAccountId
import org.chestnutloom.id.GatewayId

/**
 * Decides which gateways exchange heartbeats at every interval, and which ones enforce the rate limit of an account.
 *
 * A small fleet is a full mesh, in which every gateway enforces the limit of every account. In a larger one, each
 * gateway has a fixed number of neighbors on a [HashRing]. The replicas of an account are consecutive gateways on the
 * ring and therefore neighbors of each other, so that what a gateway sends does not grow with the fleet. Gateways with
 * little processor capacity are no replicas, see [ReplicaCapacity]; those that follow each other when they are left out
 * are neighbors too, because replicas learn of each other's admissions from heartbeats.
 *
 * @param self this gateway, which exchanges heartbeats even while it is not registered, but enforces no limits then
 * @param processorShares the processor shares of the registered gateways
 */
internal class FleetTopology(
    self: GatewayId,
    processorShares: Map<GatewayId, Double>,
) {
    private val registered = processorShares.keys
    private val capacity = ReplicaCapacity(processorShares)
    private val ring = HashRing(registered + self)

    /** Whether each gateway is a neighbor of every other one. */
    val isFullMesh: Boolean = ring.size <= MAX_FULL_MESH_GATEWAYS

    /** Whether replicas are selected by capacity, asked again by their reply times, and asked for tokens in advance. */
    val isPrefetchEnabled: Boolean = !isFullMesh && capacity.isUneven

    private val placement = HashRing(if (isFullMesh) registered else capacity.eligible)

    /** The gateways that get every heartbeat of this one. */
    val neighbors: Set<GatewayId> =
        if (isFullMesh) registered - self else neighborsOn(ring, self) + neighborsOn(placement, self)

    /** The other gateways in the order in which they follow this one on the ring. */
    val others: ImmutableList<GatewayId> = ring.othersAfter(self)

    /**
     * The number of states of other gateways that a heartbeat relays: enough that each one spreads within a few
     * intervals, up to a fixed number.
     */
    val relayedStates: Int =
        if (isFullMesh) 0 else (ring.size / HEARTBEAT_FANOUT + 1).coerceAtMost(MAX_RELAYED_STATES)

    private val replicasByAccount = HashMap<ClientAccountId, ImmutableList<GatewayId>>()

    /** Returns the gateways that enforce the rate limit of [account], the preferred one first. */
    fun replicasOf(account: ClientAccountId): ImmutableList<GatewayId> =
        replicasByAccount.getOrPut(account) {
            placement.successorsOf(account.value, if (isFullMesh) placement.size else ACCOUNT_REPLICAS)
        }

    /** Returns all gateways, this one included, in the order in which they follow [key] on the ring. */
    fun successorsOf(key: String): ImmutableList<GatewayId> = ring.successorsOf(key, ring.size)

    private fun neighborsOn(
        ring: HashRing,
        gateway: GatewayId,
    ): Set<GatewayId> = if (gateway in ring) ring.neighborsOf(gateway, distance = ACCOUNT_REPLICAS - 1) else emptySet()

    internal companion object {
        /** Up to this size, each gateway sends each heartbeat to every other one. */
        const val MAX_FULL_MESH_GATEWAYS: Int = 9

        /**
         * The number of gateways that get a heartbeat of this one at each interval in a larger fleet: its four neighbors,
         * and two more, so that states spread beyond the neighbors of neighbors.
         */
        const val HEARTBEAT_FANOUT: Int = 6

        /** With the fan-out, this determines how fast a state spreads: through 100 gateways in two seconds. */
        const val MAX_RELAYED_STATES: Int = 10

        /** The gateways that enforce the limit of one account in a large fleet: any two of them may fail at once. */
        const val ACCOUNT_REPLICAS: Int = 3
    }
}
