package org.chestnutloom.wire.message

import kotlinx.serialization.Serializable

/** A question that one process asks another; the answer is a stream of [LinkReply]. */
@Serializable
public sealed interface LinkRequest
