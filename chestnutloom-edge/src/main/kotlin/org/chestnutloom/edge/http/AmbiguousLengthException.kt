package org.chestnutloom.edge.http

/** Thrown for a request that has both a `Content-Length` and a `Transfer-Encoding` header. */
internal class AmbiguousLengthException : Exception("request has both Content-Length and Transfer-Encoding")
