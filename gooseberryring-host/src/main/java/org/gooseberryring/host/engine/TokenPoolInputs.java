package org.gooseberryring.host.engine;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import org.gooseberryring.coordination.limit.LimitEffect;
import org.gooseberryring.coordination.limit.TokenMessage;
import org.gooseberryring.coordination.limit.TokenPool;
import org.gooseberryring.coordination.request.RequestEffect;
import org.gooseberryring.coordination.request.RequestEngine;
import org.gooseberryring.state.FleetConfiguration;

/** Passes inputs to the token pool of this host on the request thread and executes its effects. */
public final class TokenPoolInputs implements LimiterInputs {
    private final TokenPool tokenPool;
    private final BiConsumer<String, TokenMessage> messages;
    private RequestLoop loop;

    /**
     * Creates the inputs; {@link #connect} must be called before the first input.
     *
     * @param messages sends a message of the token pool to the given host, which may be this one
     */
    public TokenPoolInputs(TokenPool tokenPool, BiConsumer<String, TokenMessage> messages) {
        this.tokenPool = tokenPool;
        this.messages = messages;
    }

    /** Sets the loop of the request thread. */
    public void connect(RequestLoop requestLoop) {
        loop = requestLoop;
    }

    /** Applies the limits of a configuration; must be called on the request thread. */
    public void onConfiguration(FleetConfiguration configuration, long now) {
        tokenPool.configure(configuration.organisations(), now);
    }

    /** Sets the keepers of an organisation, nearest first. */
    public void setKeepers(String organisation, List<String> nearestFirst) {
        put(now -> tokenPool.setKeepers(organisation, nearestFirst));
    }

    /** Handles a keeper's reply to a request for tokens. */
    public void onGrant(String sender, TokenMessage.Grant grant) {
        put(now -> tokenPool.onGrant(sender, grant, now));
    }

    /** Returns all token batches to their keepers for a graceful shutdown. */
    public void releaseTokens() {
        put(tokenPool::release);
    }

    @Override
    public void tick(long now) {
        tokenPool.tick(now);
    }

    @Override
    public void settle(RequestEngine engine, Consumer<RequestEffect> effects, long now) {
        List<LimitEffect> limitEffects = tokenPool.drain();
        while (!limitEffects.isEmpty()) {
            for (LimitEffect effect : limitEffects) {
                execute(effect, engine, effects, now);
            }
            limitEffects = tokenPool.drain();
        }
    }

    private void execute(LimitEffect effect, RequestEngine engine, Consumer<RequestEffect> effects, long now) {
        if (effect instanceof LimitEffect.Send send) {
            messages.accept(send.host(), send.message());
        } else if (effect instanceof LimitEffect.Decided decided) {
            engine.admitted(decided.requestId(), decided.admission(), now).forEach(effects);
        }
    }

    private void put(LongConsumer input) {
        loop.put((engine, now) -> {
            input.accept(now);
            return List.of();
        });
    }
}
