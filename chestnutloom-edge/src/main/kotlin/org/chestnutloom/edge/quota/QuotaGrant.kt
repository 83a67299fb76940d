package org.chestnutloom.edge.quota

/** The admission of one request by the rate limit of its account. */
internal fun interface QuotaGrant {
    /** Returns the request's token, because no target ran the request. */
    fun refund()
}
