package org.chestnutloom.wire.message

import kotlinx.serialization.Serializable

/** One item of the answer to a [LinkRequest]. */
@Serializable
public sealed interface LinkReply
