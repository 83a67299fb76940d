package org.chestnutloom.integration

import org.chestnutloom.integration.proof.WholeAnswerProof

class WholeAnswerSpec : ProofSpec(WholeAnswerProof())
