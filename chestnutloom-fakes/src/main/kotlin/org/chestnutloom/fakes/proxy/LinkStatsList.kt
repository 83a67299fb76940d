package org.chestnutloom.fakes.proxy

import kotlinx.serialization.Serializable

/** The response of `GET /admin/links`. */
@Serializable
public data class LinkStatsList(
    public val links: List<LinkStats>,
)
