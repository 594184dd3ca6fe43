package org.verbenatray.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;

/** Encodes records and exported states as JSON. The encoding is canonical: equal values give equal text. */
public final class RecordCodec {
    /** Sorts properties and map entries, so that the encoding is canonical. */
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private RecordCodec() {}

    /** Returns the mapper for callers that embed records in larger documents. */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /** Returns the JSON text of a value. */
    public static String encode(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode " + value.getClass().getName(), e);
        }
    }

    /** Decodes a JSON text; fails with an {@link IllegalArgumentException} when it does not match the type. */
    public static <T> T decode(String json, Class<T> type) {
        try {
            return MAPPER.readValue(json, type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not a " + type.getSimpleName() + ": " + e.getOriginalMessage(), e);
        }
    }
}
