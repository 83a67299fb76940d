package org.chestnutloom.integration

import org.chestnutloom.integration.proof.StreamCompletenessProof

class StreamCompletenessSpec : ProofSpec(StreamCompletenessProof())
