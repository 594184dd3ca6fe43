package org.verbenatray.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.testng.annotations.Test;
import org.verbenatray.configuration.FleetConfiguration.CallSpec;
import org.verbenatray.configuration.FleetConfiguration.RoleSpec;

/** Tests of {@link ConfigurationMerger}. */
public final class ConfigurationMergerTest {
    private static final String BASE = """
            models:
              long-review:
                version: "2026.1"
                adapters: [masonry, welding]
                priority: 20
            customers:
              contractor:
                keySha256: %s
            services:
              registry:
                servers:
                  reg-1: {failureDomain: lhr-johar, address: "http://127.0.0.1:9101"}
                  reg-2: {failureDomain: lhr-gulberg, address: "http://127.0.0.1:9102"}
                calls:
                  - {method: POST, path: /certificates}
                  - {method: GET, path: /passports, repeatable: true}
            engines:
              lhr-1:
                failureDomain: lhr-johar
                address: http://127.0.0.1:9001
                checksFencing: true
                models: [long-review]
                initialRole: prefill
            roles:
              changePrice: 5
            """.formatted("a".repeat(64));

    @Test
    public void everySectionIsRead() {
        FleetConfiguration fleet = merged(Map.of("10-base.yaml", BASE));
        assertEquals(fleet.models().get("long-review").adapters(), List.of("masonry", "welding"));
        assertEquals(fleet.customers().get("contractor").keySha256(), "a".repeat(64));
        assertEquals(fleet.services().get("registry").servers().get(1).name(), "reg-2");
        assertEquals(
                fleet.services().get("registry").calls(),
                List.of(new CallSpec("POST", "/certificates", false), new CallSpec("GET", "/passports", true)));
        assertEquals(fleet.engines().get("lhr-1").initialRole(), EngineRole.PREFILL);
        assertEquals(fleet.roles(), new RoleSpec(5, 5_000, 1, 15_000, 120_000));
    }

    @Test
    public void laterFilesMergeMappingsReplaceListsAndRemoveByNull() {
        String later = """
                models: {long-review: {priority: 30, adapters: [carpentry]}}
                services: {registry: {servers: {reg-1: null}}}
                engines: {lhr-1: {models: null}}
                roles: null
                """;
        FleetConfiguration fleet = merged(Map.of("10-base.yaml", BASE, "20-later.yaml", later));
        assertEquals(fleet.models().get("long-review").priority(), 30);
        assertEquals(fleet.models().get("long-review").version(), "2026.1");
        assertEquals(fleet.models().get("long-review").adapters(), List.of("carpentry"));
        assertEquals(fleet.services().get("registry").servers().size(), 1);
        assertEquals(fleet.engines().get("lhr-1").models(), List.of());
        assertEquals(fleet.roles(), RoleSpec.defaults());
    }

    @Test
    public void anEmptyFolderIsAnEmptyConfiguration() {
        assertEquals(merged(Map.of()), FleetConfiguration.empty());
        assertEquals(merged(Map.of("a.yaml", "", "b.yaml", "# nothing\n")), FleetConfiguration.empty());
    }

    @Test(dataProvider = "badFiles", dataProviderClass = BadFiles.class)
    public void aBadFileIsReportedWithItsLineAndRemedy(
            String text, int line, String key, String found, String allowed) {
        List<ConfigurationProblem> problems =
                ConfigurationMerger.merge(new TreeMap<>(Map.of("a.yaml", text))).problems();
        boolean reported = problems.stream()
                .anyMatch(problem -> problem.file().equals("a.yaml")
                        && problem.line() == line
                        && problem.key().startsWith(key)
                        && problem.found().contains(found)
                        && problem.allowed().contains(allowed));
        assertTrue(reported, problems.toString());
        assertTrue(
                problems.get(0).message().startsWith("a.yaml:" + problems.get(0).line()));
        assertTrue(problems.get(0).remedy().contains("a.yaml"));
    }

    @Test
    public void allProblemsInAllFilesAreReportedAtOnceWithTheirLocations() {
        MergeResult result = ConfigurationMerger.merge(new TreeMap<>(Map.of(
                "10-base.yaml", BASE,
                "20-a.yaml", "models:\n  long-review:\n    priority: -1\n",
                "30-b.yaml", "roles:\n  maxAtOnce: 0\n  price: 1\n")));
        assertFalse(result.isValid());
        assertTrue(result.fleet().isEmpty());
        assertEquals(
                result.problems().stream()
                        .map(problem -> problem.file() + ":" + problem.line() + " " + problem.key())
                        .toList(),
                List.of(
                        "20-a.yaml:3 models.long-review.priority",
                        "30-b.yaml:2 roles.maxAtOnce",
                        "30-b.yaml:3 roles.price"));
    }

    private static FleetConfiguration merged(Map<String, String> files) {
        MergeResult result = ConfigurationMerger.merge(new TreeMap<>(files));
        assertEquals(result.problems(), List.of());
        return result.fleet().orElseThrow();
    }
}
