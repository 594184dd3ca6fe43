package org.verbenatray.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.testng.annotations.Test;
import org.verbenatray.log.RecordBody.FileChange;
import org.verbenatray.log.RecordCodec;

/** Tests of {@link ChangeSets}. */
public final class ChangeSetsTest {
    private long next = 7;

    @Test
    public void theFirstPublicationNamesEveryFile() {
        PublishPlan plan = plan(ConfigurationFold.create(), PublishState.none(), "a.yaml", "", "b.yaml", "");
        assertEquals(
                plan.change().orElseThrow().files(),
                List.of(Changes.put("a.yaml", -1, ""), Changes.put("b.yaml", -1, "")));
        assertEquals(plan.follows(), -1);
    }

    @Test
    public void aFolderThatIsBehindIsToldAndRevertsNothing() {
        ConfigurationFold fold = fold("a.yaml", Changes.customer(1, 1));
        PublishState amir = plan(fold, PublishState.none(), "a.yaml", Changes.customer(1, 1))
                .next();
        change(fold, "bina", "a.yaml", Changes.customer(1, 2));
        change(fold, "bina", "b.yaml", Changes.customer(2, 2));
        PublishPlan plan = plan(fold, amir, "a.yaml", Changes.customer(1, 1));
        assertEquals(plan.change(), Optional.empty());
        assertEquals(plan.behind().size(), 2);
        assertTrue(plan.behind().get(0).message().startsWith("a.yaml was changed by bina at offset "));
        assertEquals(plan.behind().get(0).inForce(), Optional.of(Changes.customer(1, 2)));
    }

    @Test
    public void anEditOfAFileThatAnotherAuthorChangedHoldsBackTheWholeSet() {
        ConfigurationFold fold = fold("a.yaml", Changes.customer(1, 1));
        PublishState amir = plan(fold, PublishState.none(), "a.yaml", Changes.customer(1, 1))
                .next();
        change(fold, "bina", "a.yaml", Changes.customer(1, 2));
        PublishPlan plan = plan(fold, amir, "a.yaml", Changes.customer(1, 3), "new.yaml", "");
        assertEquals(plan.change(), Optional.empty());
        assertEquals(plan.conflicts().size(), 1);
        PublishPlan settled = plan(fold, PublishState.ofAll(fold.view()), "a.yaml", Changes.customer(1, 3));
        assertEquals(settled.change().orElseThrow().files().size(), 1);
        assertEquals(settled.follows(), fold.active().offset());
    }

    @Test
    public void aRemovedFileIsPublishedByItsRemoverAndReportedToOthers() {
        ConfigurationFold fold = fold("a.yaml", Changes.customer(1, 1));
        PublishState seen = plan(fold, PublishState.none(), "a.yaml", Changes.customer(1, 1))
                .next();
        long offset = fold.active().offset();
        PublishPlan removal = plan(fold, seen);
        assertEquals(
                removal.change().orElseThrow().files(), List.of(new FileChange("a.yaml", Optional.empty(), offset)));
        submit(fold, "bina", removal);
        PublishPlan other = plan(fold, seen, "a.yaml", Changes.customer(1, 1));
        assertEquals(other.change(), Optional.empty());
        assertTrue(other.behind().get(0).message().contains("removed by bina"));
    }

    @Test
    public void anEditGoesThroughOnceTheFolderTookOverARivalEntry() {
        ConfigurationFold fold = fold("a.yaml", Changes.customer(1, 1));
        PublishState amir = plan(fold, PublishState.none(), "a.yaml", Changes.customer(1, 1))
                .next();
        change(fold, "bina", "b.yaml", Changes.customer(1, 2));
        PublishPlan stale = plan(fold, amir, "a.yaml", Changes.customer(1, 3));
        assertTrue(!submit(fold, "amir", stale));
        PublishPlan tookOver =
                plan(fold, stale.next(), "a.yaml", Changes.customer(1, 3), "b.yaml", Changes.customer(1, 2));
        assertTrue(submit(fold, "amir", tookOver));
    }

    @Test
    public void thePublishStateSurvivesItsFile() {
        PublishState state = PublishState.ofAll(fold("a.yaml", "").view());
        assertEquals(RecordCodec.decode(RecordCodec.encode(state), PublishState.class), state);
    }

    private ConfigurationFold fold(String file, String content) {
        ConfigurationFold fold = ConfigurationFold.create();
        change(fold, "root", file, content);
        return fold;
    }

    private void change(ConfigurationFold fold, String author, String file, String content) {
        long offset = fold.active().offset();
        assertTrue(fold.apply(Changes.stored(next++, author, offset, Changes.put(file, offset, content)))
                .isAccepted());
    }

    private boolean submit(ConfigurationFold fold, String author, PublishPlan plan) {
        FileChange[] files = plan.change().orElseThrow().files().toArray(FileChange[]::new);
        return fold.apply(Changes.stored(next++, author, plan.follows(), files)).isAccepted();
    }

    private static PublishPlan plan(ConfigurationFold fold, PublishState state, String... namesAndContents) {
        Map<String, String> folder = new TreeMap<>();
        for (int i = 0; i < namesAndContents.length; i += 2) {
            folder.put(namesAndContents[i], namesAndContents[i + 1]);
        }
        return ChangeSets.plan(new TreeMap<>(folder), fold.view(), state);
    }
}
