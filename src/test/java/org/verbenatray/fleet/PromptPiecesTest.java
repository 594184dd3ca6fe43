package org.verbenatray.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link PromptPieces}. */
public final class PromptPiecesTest {
    private static final String PIECE = "x".repeat(PromptPieces.PIECE_TOKENS * PromptPieces.CHARS_PER_TOKEN);

    @Test
    public void equalPrefixesHaveEqualHashesAndTheRestDiffers() {
        List<Long> first = PromptPieces.hashes("m", PIECE + PIECE + "tail");
        List<Long> second = PromptPieces.hashes("m", PIECE + "y" + PIECE);
        assertEquals(first.size(), 2);
        assertEquals(second.get(0), first.get(0));
        assertNotEquals(second.get(1), first.get(1));
        assertNotEquals(first.get(1), first.get(0), "chained");
        assertNotEquals(PromptPieces.hashes("n", PIECE).get(0), first.get(0));
    }
}
