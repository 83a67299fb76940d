package org.chestnutloom.wire.link

/** Carries a [LinkFailure] out of a flow of replies. */
public class LinkException(
    public val failure: LinkFailure,
) : Exception(failure.toString())
