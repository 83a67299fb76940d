package org.chestnutloom.config

import org.chestnutloom.id.TargetId

/**
 * One service that programs call as a tool.
 *
 * @property targets the targets that run the service
 * @property idempotent whether a call may be retried when its caller does not specify it
 */
public data class ServiceSettings(
    public val targets: List<TargetId>,
    public val idempotent: Boolean,
)
