package org.chestnutloom.wire.message

import kotlinx.serialization.Serializable

/** One reply to a [LinkRequest]. */
@Serializable
public sealed interface LinkReply
