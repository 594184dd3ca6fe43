package org.verbenatray.configuration;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.verbenatray.configuration.ConfigurationView.FileInForce;
import org.verbenatray.configuration.PublishPlan.Divergence;
import org.verbenatray.log.RecordBody.FileChange;

/** Properties of publishers that race with {@link ChangeSets}. */
public final class ChangeSetsPropertiesTest {
    private static final int STEPS = 60;

    private long nextOffset;

    @Property(seed = "21")
    void nothingInForceIsReplacedByAPublisherThatNeverHadIt(@ForAll @IntRange int seed) {
        Random random = new Random(seed);
        ConfigurationFold fold = ConfigurationFold.create();
        nextOffset = 0;
        List<Publisher> publishers = List.of(new Publisher("amir"), new Publisher("bina"), new Publisher("sara"));
        List<ConfigurationView> views = new ArrayList<>(List.of(fold.view()));
        for (int step = 0; step < STEPS; step++) {
            Publisher publisher = publishers.get(random.nextInt(publishers.size()));
            if (random.nextBoolean()) {
                publisher.edit(random);
            }
            int lag = random.nextInt(Math.min(3, views.size()));
            publisher.publish(fold, views.get(views.size() - 1 - lag), random.nextBoolean());
            views.add(fold.view());
        }
    }

    /** A publisher with its folder. */
    private final class Publisher {
        private final String author;

        private final SortedMap<String, String> folder = new TreeMap<>();

        private final Set<String> held = new HashSet<>();

        private PublishState state = PublishState.none();

        Publisher(String author) {
            this.author = author;
        }

        void edit(Random random) {
            String file = List.of("a.yaml", "b.yaml", "c.yaml").get(random.nextInt(3));
            if (random.nextInt(4) == 0) {
                folder.remove(file);
            } else {
                folder.put(file, Changes.customer(random.nextInt(3), random.nextInt(101)));
            }
        }

        void publish(ConfigurationFold fold, ConfigurationView lagging, boolean takesOver) {
            PublishPlan plan = ChangeSets.plan(folder, lagging, state);
            state = plan.next();
            lagging.files().forEach((name, file) -> {
                if (file.content().equals(folder.get(name))) {
                    held.add(name + file.content());
                }
            });
            plan.change().ifPresent(change -> submit(fold, change.files(), plan.follows()));
            if (takesOver) {
                plan.behind().forEach(this::takeOver);
                plan.conflicts().forEach(this::takeOver);
            }
        }

        private void submit(ConfigurationFold fold, List<FileChange> files, long follows) {
            SortedMap<String, FileInForce> before = fold.view().files();
            FileChange[] changes = files.toArray(FileChange[]::new);
            if (fold.apply(Changes.stored(nextOffset++, author, follows, changes))
                    .isAccepted()) {
                for (FileChange file : files) {
                    Optional<FileInForce> replaced = Optional.ofNullable(before.get(file.name()));
                    assertTrue(replaced.isEmpty()
                            || held.contains(file.name() + replaced.get().content()));
                }
            }
        }

        private void takeOver(Divergence divergence) {
            divergence
                    .inForce()
                    .ifPresentOrElse(
                            content -> folder.put(divergence.file(), content), () -> folder.remove(divergence.file()));
        }
    }
}
