package org.chestnutloom.fakes.record

import kotlinx.serialization.Serializable

/** The response of `GET /admin/log`. */
@Serializable
public data class RequestRecords(
    public val requests: List<RequestRecord>,
)
