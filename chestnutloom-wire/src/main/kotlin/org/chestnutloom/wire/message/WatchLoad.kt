package org.chestnutloom.wire.message

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Asks a sidecar for a [LoadReport] now and after each change, at most one each reporting interval. */
@Serializable
@SerialName("watch-load")
public data object WatchLoad : LinkRequest
