package org.chestnutloom.config

import org.chestnutloom.id.TargetId

/**
 * One service that programs call as a tool.
 *
 * @property targets the targets that run the service
 * @property idempotent whether calls are idempotent, and so may be retried, unless the caller specifies otherwise
 */
public data class ServiceSettings(
    public val targets: List<TargetId>,
    public val idempotent: Boolean,
)
