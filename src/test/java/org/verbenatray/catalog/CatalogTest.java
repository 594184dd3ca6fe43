package org.verbenatray.catalog;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.verbenatray.time.ManualTime;

/** Tests route matching, the replacement of versions and the distribution over services. */
public final class CatalogTest {
    @Test
    public void theRouteOfTheHostWithTheLongestMatchingPrefixIsReturned() {
        Catalog catalog = catalog(1, route("/"), route("/a/"), route("/a/b/"));
        Assert.assertEquals(name(catalog, "h", "/a/b/c"), "/a/b/");
        Assert.assertEquals(name(catalog, "H:80", "/a/b"), "/a/");
        Assert.assertEquals(name(catalog, "h", "/x"), "/");
        Assert.assertEquals(catalog.match("other", "/a/b/c"), Optional.empty());
    }

    @Test
    public void aVersionIsNeverReplacedByAnOlderOne() {
        CurrentCatalog current = CurrentCatalog.empty(new ManualTime());
        Assert.assertTrue(current.replaceIfNewer(catalog(5)));
        Assert.assertFalse(current.replaceIfNewer(catalog(4)));
        Assert.assertFalse(current.replaceIfNewer(catalog(5)));
        Assert.assertTrue(current.replaceIfNewer(catalog(9)));
        Assert.assertEquals(current.get().orElseThrow().version(), 9);
    }

    @Test
    public void servicesReceiveRequestsInProportionToTheirWeights() {
        Route route = new Route(
                "r",
                "h",
                "/",
                RouteKind.SAFE,
                1,
                1,
                0,
                List.of(new WeightedService("a", 90), new WeightedService("b", 10), new WeightedService("c", 0)),
                1,
                0,
                false,
                false);
        Map<String, Integer> counts = new TreeMap<>();
        for (int hash = -500; hash < 500; hash++) {
            counts.merge(route.serviceFor(hash), 1, Integer::sum);
        }
        Assert.assertEquals(counts, Map.of("a", 900, "b", 100));
    }

    private static String name(Catalog catalog, String host, String path) {
        return catalog.match(host, path).orElseThrow().name();
    }

    private static Catalog catalog(long version, Route... routes) {
        return Catalog.of(version, List.of(routes), List.of(), new CallerLimits(1, 1, 1, 1), Customers.notRequired());
    }

    private static Route route(String prefix) {
        return new Route(
                prefix, "h", prefix, RouteKind.SAFE, 1, 1, 0, List.of(new WeightedService("s", 1)), 1, 0, false, false);
    }
}
