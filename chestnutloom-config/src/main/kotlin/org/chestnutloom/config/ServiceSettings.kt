package org.chestnutloom.config

import org.chestnutloom.id.TargetId

/**
 * One plain service that programs call as a tool.
 *
 * @property targets the targets that run the service
 * @property idempotent whether a call may be repeated when its caller does not say
 */
public data class ServiceSettings(
    public val targets: List<TargetId>,
    public val idempotent: Boolean,
)
