package org.chestnutloom.edge.outlier

/** How strong the evidence of failures is for a target that is in use, in ascending order. */
internal enum class Suspicion {
    /** No gateway reports a failure in the window. */
    NONE,

    /** One other gateway reports failures, which may be due to its own network, or the target was just readmitted. */
    WEAK,

    /** This gateway or several others have seen failures. */
    STRONG,
}
