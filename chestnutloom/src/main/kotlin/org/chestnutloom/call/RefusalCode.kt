package org.chestnutloom.call

import kotlinx.serialization.Serializable

/**
 * Why a request was refused or failed.
 *
 * @property wireName the stable code in responses to callers
 * @property httpStatus the status of the HTTP response
 */
@Serializable
public enum class RefusalCode(
    public val wireName: String,
    public val httpStatus: Int,
) {
    /** The request is not well-formed. */
    BAD_REQUEST("bad_request", 400),

    /** The body is larger than the environment allows. */
    BODY_TOO_LARGE("body_too_large", 413),

    /** The request has no key, or its key is unknown or withdrawn. */
    UNAUTHORIZED("unauthorized", 401),

    /** The resource does not exist or belongs to another client account. */
    NOT_FOUND("not_found", 404),

    /** The environment offers no such model. */
    UNKNOWN_MODEL("unknown_model", 404),

    /** The environment offers no such service. */
    UNKNOWN_SERVICE("unknown_service", 404),

    /** The turn number is not the successor of the program's last turn. */
    TURN_OUT_OF_ORDER("turn_out_of_order", 409),

    /** An earlier request with the same turn number had a different body. */
    TURN_MISMATCH("turn_mismatch", 409),

    /** The turn is in progress. */
    TURN_IN_PROGRESS("turn_in_progress", 409),

    /** The program has ended and accepts no more turns. */
    PROGRAM_ENDED("program_ended", 409),

    /** The program's budget does not cover the call. */
    BUDGET_EXHAUSTED("budget_exhausted", 402),

    /** Failed gateways may have spent what remains of the program's budget. */
    BUDGET_UNSETTLED("budget_unsettled", 503),

    /** The client account exceeded its rate and burst. */
    RATE_LIMITED("rate_limited", 429),

    /** The call could not be started in time because the fleet is overloaded. */
    OVERLOADED("overloaded", 503),

    /** No target that can serve the call is reachable. */
    NO_TARGET("no_target", 503),

    /** The platform's store is unavailable and the call requires a durable write first. */
    STORE_UNAVAILABLE("store_unavailable", 503),

    /** This gateway cannot prove that its configuration, keys and ownership are current. */
    GATEWAY_STALE("gateway_stale", 503),

    /** The gateway is shutting down. */
    STOPPING("stopping", 503),

    /** Targets crashed while running calls with this body, so it is no longer sent to any target. */
    QUARANTINED("quarantined", 422),

    /** The target returned an error. */
    TARGET_ERROR("target_error", 502),

    /** The target or its sidecar failed during the call. */
    TARGET_LOST("target_lost", 502),

    /** The call exceeded its time limit. */
    TIMEOUT("timeout", 504),

    /** The caller cancelled the call, or its key was withdrawn. */
    CANCELLED("cancelled", 499),

    /** An internal error in chestnutloom. */
    INTERNAL("internal", 500),
}
