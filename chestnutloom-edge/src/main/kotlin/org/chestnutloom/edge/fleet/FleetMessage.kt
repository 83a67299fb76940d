package org.chestnutloom.edge.fleet

import kotlinx.serialization.Serializable

/** A message that gateways send to each other as a datagram, without delivery guarantee. */
@Serializable
public sealed interface FleetMessage
