package org.chestnutloom.wire.link

/** Thrown by a flow of replies when its stream fails. */
public class LinkException(
    public val failure: LinkFailure,
) : Exception(failure.toString())
