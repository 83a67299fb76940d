package org.chestnutloom.wire.message

import kotlinx.serialization.Serializable

/** A request from one process to another; its result is a stream of [LinkReply]. */
@Serializable
public sealed interface LinkRequest
